/** Decodes a file with a configuration in the form in which the metadata store holds it. */
import * as neverthrow from 'neverthrow';
import * as configuration from '../gateway/common/configuration';
import * as fieldReader from './field_reader';
import * as objectCodec from './object_codec';
import * as wireNames from './wire_names';

const {isFields} = fieldReader;

/**
 * Decodes the text of a stored object, or of its spec alone, as gateways decode it. The value is undefined if gateways would
 * not read the object; the listener is told why, and of everything that is left out or replaced. Errors: the text is not
 * JSON.
 */
export function decodeConfigurationText(
  text: string,
  onIssue: fieldReader.IssueListener,
): neverthrow.Result<configuration.Configuration | undefined, string> {
  const value = objectCodec.parseJson(text);
  return value === undefined
    ? neverthrow.err('not JSON')
    : neverthrow.ok(decodeValue(value, onIssue));
}

function decodeValue(
  value: unknown,
  onIssue: fieldReader.IssueListener,
): configuration.Configuration | undefined {
  const isObject = isFields(value) && ('meta' in value || 'spec' in value);
  if (!isObject) {
    const stored = {
      name: wireNames.CONFIGURATION_NAME,
      revision: 0,
      spec: value,
    };
    return objectCodec.decodeConfiguration(stored, onIssue);
  }
  const stored = objectCodec.decodeObject(value);
  if (stored === undefined) {
    onIssue('object', 'meta, name: expected a text; the object is not read');
    return undefined;
  }
  if (stored.name !== wireNames.CONFIGURATION_NAME) {
    onIssue(
      'object',
      `meta, name: expected ${JSON.stringify(wireNames.CONFIGURATION_NAME)}; gateways read no other object`,
    );
  }
  return objectCodec.decodeConfiguration(stored, onIssue);
}
