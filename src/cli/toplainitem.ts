/** Converts a protobuf message to a plain object. */

/** Returns the message's fields without the properties that protobuf adds. */
export function toPlainItem<Message extends { name: string; }>(message: Message): { name: string; } {
    const { $typeName: _typeName, $unknown: _unknown, ...fields } = message as Message & Record<string, unknown>;
    return fields as unknown as { name: string; };
}
