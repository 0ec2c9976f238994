/** A message as a plain object. */

/** Leaves out what belongs to the message and not to its fields. */
export function toPlainItem<Message extends { name: string; }>(message: Message): { name: string; } {
    const { $typeName: _typeName, $unknown: _unknown, ...fields } = message as Message & Record<string, unknown>;
    return fields as unknown as { name: string; };
}
