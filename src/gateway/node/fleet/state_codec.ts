/** Encodes the state that gateways serve each other. */
import * as util from 'node:util';
import * as zlib from 'node:zlib';
import * as peerDigest from '../../common/fleet/peer_digest';

/** Maximum size of a peer's state, in bytes: a configuration, and records of some thousand instances. */
export const MAX_STATE_BYTES = 8_388_608;
/** Size from which state is compressed, in bytes. */
const MIN_COMPRESSED_BYTES = 4_096;

const gzip = util.promisify<zlib.InputType, zlib.ZlibOptions, Buffer>(
  zlib.gzip,
);
const gunzip = util.promisify<zlib.InputType, zlib.ZlibOptions, Buffer>(
  zlib.gunzip,
);

/** Body of an answer with state. */
export interface EncodedState {
  readonly body: Buffer;
  readonly isCompressed: boolean;
}

/** Encodes state, and keeps the last encoding: peers that restart together need the same whole state. */
export class StateEncoder {
  private lastKey = '';
  private last: Promise<EncodedState> | undefined;

  encode(
    state: peerDigest.PeerState,
    mayCompress: boolean,
  ): Promise<EncodedState> {
    const key = keyOf(state, mayCompress);
    if (this.last === undefined || key !== this.lastKey) {
      this.lastKey = key;
      this.last = encodeState(state, mayCompress);
    }
    return this.last;
  }
}

/** Identifies the content of a state among those of one gateway. */
function keyOf(state: peerDigest.PeerState, mayCompress: boolean): string {
  const {configuration, configurationChange: change} = state;
  return JSON.stringify([
    mayCompress,
    state.storeEra,
    state.configurationRevision,
    configuration?.version,
    configuration?.hasAllowedRegions,
    change?.fromVersion,
    change?.version,
    state.instancesPosition,
    state.evacuated,
  ]);
}

async function encodeState(
  state: peerDigest.PeerState,
  mayCompress: boolean,
): Promise<EncodedState> {
  const body = Buffer.from(JSON.stringify(state));
  if (!mayCompress || body.length < MIN_COMPRESSED_BYTES) {
    return {body, isCompressed: false};
  }
  const level = zlib.constants.Z_BEST_SPEED;
  return {body: await gzip(body, {level}), isCompressed: true};
}

/** Decodes state. Rejects if it is malformed, or larger than allowed. */
export async function decode({
  body,
  isCompressed,
}: EncodedState): Promise<peerDigest.PeerState> {
  const bytes = isCompressed
    ? await gunzip(body, {maxOutputLength: MAX_STATE_BYTES})
    : body;
  return JSON.parse(bytes.toString('utf8')) as peerDigest.PeerState;
}
