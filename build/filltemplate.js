/**
 * Fills the platform's template of settings (deploy/settings.json) with nothing, so that the build can start a daemon by it.
 *
 * A part for a value that is given goes, a part for one that is not given stays, and a gap in a text holds "x".
 */

/** Returns the template's JSON as an object; throws what JSON.parse throws. */
export const fillTemplate = text => {
    const without = text.replaceAll(/\{\{#([\w.]+)\}\}[^]*?\{\{\/\1\}\}/g, "");
    const plain = without.replaceAll(/\{\{\^([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, "$2");
    return JSON.parse(plain.replaceAll(/"\{\{.*?\}\}.*?"/g, "\"x\""));
};
