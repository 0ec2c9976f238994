/**
 * Renders the platform's settings template (deploy/settings.json) without any values, so that the build can start a
 * daemon with it.
 *
 * Removes sections for values that are set, keeps sections for values that are not set, and fills a string that begins
 * with a placeholder with "x".
 */

/** Returns the rendered template as an object; throws a SyntaxError if it is not JSON. */
export const fillTemplate = text => {
    const withoutSetSections = text.replaceAll(/\{\{#([\w.]+)\}\}[^]*?\{\{\/\1\}\}/g, "");
    const withUnsetSections = withoutSetSections.replaceAll(/\{\{\^([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, "$2");
    return JSON.parse(withUnsetSections.replaceAll(/"\{\{.*?\}\}.*?"/g, "\"x\""));
};
