/** Decodes the configuration from the text of the store entry by entry, so that its parsed text is never in memory as a whole. */
import * as configuration from '../gateway/common/configuration';
import * as configurationSize from '../gateway/common/configuration_size';
import * as jsonSlices from './json_slices';
import * as objectCodec from './object_codec';

/** The configuration as an object of the store. */
export interface StoredConfiguration {
  readonly name: string;
  readonly revision: number;
  /** Undefined if the content is no configuration. */
  readonly value: configuration.Configuration | undefined;
}

/** Thrown for a configuration that would take more memory than allowed. */
export class ConfigurationTooLarge extends Error {}

/** Decodes one object; undefined if the text is none of the store. Throws a SyntaxError if it is malformed, and `ConfigurationTooLarge` if it would take more memory than allowed. */
export function decodeStored(
  text: jsonSlices.JsonSlice,
  maxBytes = Infinity,
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
      spec && withFields(spec, fields => decodeSpec(stored, fields, maxBytes));
    return {name, revision, value};
  });
}

/** Decodes the newest of the events that has a configuration with the name; undefined if none has. Throws as above. */
export function decodeNewest(
  events: jsonSlices.JsonSlice,
  name: string,
  maxBytes = Infinity,
): configuration.Configuration | undefined {
  const newestFirst = [...events.elements()].reverse();
  for (const event of newestFirst.filter(each => each.isObject)) {
    const members = event.members();
    const object = members.get('object');
    const isDeleted = members.get('deleted')?.parse() === true;
    const stored = isDeleted
      ? undefined
      : object && decodeStored(object, maxBytes);
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
  } catch (error) {
    if (error instanceof ConfigurationTooLarge) {
      throw error;
    }
    // Malformed content of another writer, decoded as no object.
    return undefined;
  }
}

function decodeSpec(
  stored: objectCodec.StoredObject,
  fields: jsonSlices.JsonSlice,
  maxBytes: number,
): configuration.Configuration | undefined {
  const spec = lazySpec(fields, configurationSize.maxEntries(maxBytes));
  try {
    const value = objectCodec.decodeConfiguration({...stored, spec});
    const bytes = value && configurationSize.measure(value).memoryBytes;
    if (bytes !== undefined && bytes > maxBytes) {
      throw new ConfigurationTooLarge(`configuration: ${bytes} bytes`);
    }
    return value;
  } catch (error) {
    throw error instanceof jsonSlices.TooManyElements
      ? new ConfigurationTooLarge(`configuration: ${error.message}`)
      : error;
  }
}

/** The fields of a configuration, with lists whose entries are parsed when they are read. */
function lazySpec(
  fields: jsonSlices.JsonSlice,
  maxEntries: number,
): Record<string, unknown> {
  return Object.fromEntries(
    [...fields.members()].map(([name, value]) => [
      name,
      value.isArray
        ? new jsonSlices.JsonList(value, maxEntries)
        : value.parse(),
    ]),
  );
}
