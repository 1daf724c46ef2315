/** Quotes text of unknown content, such as names in a configuration, for messages to people. */

/** Maximum number of characters of a quoted name. */
const MAX_NAME_CHARACTERS = 100;
/** Maximum number of characters of a message with names of unknown length. */
const MAX_MESSAGE_CHARACTERS = 400;
/** Characters that a terminal interprets, that are not seen, or that reorder text. */
const UNPRINTABLE =
  // eslint-disable-next-line no-control-regex
  /[\u0000-\u001f\u007f-\u009f\u200b-\u200f\u2028-\u202e\u2060-\u2069]/g;

function shorten(text: string, limit: number): string {
  return text.length > limit ? `${text.slice(0, limit)}…` : text;
}

/** Returns the text, shortened and with escapes for characters that are no plain text. */
export function printable(text: string): string {
  return escapeUnprintable(shorten(text, MAX_MESSAGE_CHARACTERS));
}

/** Returns the name in quotation marks, shortened and with escapes for characters that are no plain text. */
export function quote(name: string): string {
  return quoteWhole(shorten(name, MAX_NAME_CHARACTERS));
}

/** Returns the text in quotation marks, with escapes for characters that are no plain text. */
export function quoteWhole(text: string): string {
  return escapeUnprintable(JSON.stringify(text));
}

function escapeUnprintable(text: string): string {
  return text.replace(
    UNPRINTABLE,
    character => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}
