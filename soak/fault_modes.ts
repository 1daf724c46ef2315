/** Modes of relays, replicas and the store from which faults are drawn. */
import * as storeStandin from '../standins/store_standin';
import * as tcpRelay from '../standins/tcp_relay';
import * as replicas from './replica';

const {RelayMode} = tcpRelay;
const {StoreFault} = storeStandin;
const {ReplicaMode} = replicas;

export const RELAY_MODES = [
  RelayMode.SilenceOpen,
  RelayMode.SilenceAll,
  RelayMode.SilenceAnswers,
  RelayMode.Delay,
  RelayMode.Cut,
  RelayMode.Reset,
];

export const REPLICA_MODES = [
  ReplicaMode.Silent,
  ReplicaMode.Resetting,
  ReplicaMode.LosingAnswers,
  ReplicaMode.Shedding,
  ReplicaMode.DuplicatingAnswers,
  ReplicaMode.Unframed,
  ReplicaMode.Stalling,
  ReplicaMode.LateAnswers,
];

export const STORE_FAULTS = [
  StoreFault.Busy,
  StoreFault.Silent,
  StoreFault.Reset,
  StoreFault.Garbled,
];
