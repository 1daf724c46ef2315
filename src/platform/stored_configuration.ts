/** Decodes the configuration from the text of the store entry by entry, so that its parsed text is never in memory as a whole. */
import * as configuration from '../gateway/common/configuration';
import * as jsonSlices from './json_slices';
import * as objectCodec from './object_codec';

/** The configuration as an object of the store. */
export interface StoredConfiguration {
  readonly name: string;
  readonly revision: number;
  /** Undefined if the content is no configuration. */
  readonly value: configuration.Configuration | undefined;
}

/** Decodes one object; undefined if the text is none of the store. Throws a SyntaxError if it is malformed. */
export function decodeStored(
  text: jsonSlices.JsonSlice,
): StoredConfiguration | undefined {
  return withFields(text, object => {
    const members = object.members();
    const meta = members.get('meta')?.parse();
    const stored = objectCodec.decodeObject({meta});
    if (stored === undefined) {
      return undefined;
    }
    const {name, revision} = stored;
    const spec = members.get('spec');
    const value =
      spec &&
      withFields(spec, fields =>
        objectCodec.decodeConfiguration({...stored, spec: lazySpec(fields)}),
      );
    return {name, revision, value};
  });
}

/** Decodes the newest of the events that has a configuration with the name; undefined if none has. Throws a SyntaxError if the text is malformed. */
export function decodeNewest(
  events: jsonSlices.JsonSlice,
  name: string,
): configuration.Configuration | undefined {
  const newestFirst = [...events.elements()].reverse();
  for (const event of newestFirst.filter(each => each.isObject)) {
    const members = event.members();
    const object = members.get('object');
    const isDeleted = members.get('deleted')?.parse() === true;
    const stored = isDeleted ? undefined : object && decodeStored(object);
    if (stored?.name === name && stored.value !== undefined) {
      return stored.value;
    }
  }
  return undefined;
}

/** Calls back with the members of an object, or of one that is JSON text in a text. */
function withFields<T>(
  text: jsonSlices.JsonSlice,
  decode: (object: jsonSlices.JsonSlice) => T | undefined,
): T | undefined {
  if (text.isObject) {
    return decode(text);
  }
  const inner = text.parse();
  if (typeof inner !== 'string') {
    return undefined;
  }
  try {
    const object = jsonSlices.JsonSlice.of(Buffer.from(inner));
    return object.isObject ? decode(object) : undefined;
  } catch {
    // Malformed content of another writer, decoded as no object.
    return undefined;
  }
}

/** The fields of a configuration, with lists whose entries are parsed when they are read. */
function lazySpec(fields: jsonSlices.JsonSlice): Record<string, unknown> {
  return Object.fromEntries(
    [...fields.members()].map(([name, value]) => [
      name,
      value.isArray ? new jsonSlices.JsonList(value) : value.parse(),
    ]),
  );
}
