/**
 * How the memory and the descriptors of a machine are divided among what
 * callers make a gateway hold. The shares of memory leave room for the code,
 * the runtime and the heap; docs/design/caller-memory.md has the sum.
 */

const BYTES_PER_MEGABYTE = 1_000_000;
/** Machine assumed where the settings name no memory, in MB. */
const DEFAULT_MEMORY_MEGABYTES = 512;
/** Descriptors assumed where the settings name none. */
const DEFAULT_DESCRIPTORS = 4_096;
/** Descriptors that a machine keeps for files. */
const FILE_DESCRIPTORS = 200;

/** Shares of the memory, beside that of answers (delivery_buffers.ts). Bodies count twice, since the kernel may hold them once more on their way to instances. */
const BODY_SHARE = 0.05;
const CONNECTION_SHARE = 0.05;
const CALLER_KERNEL_SHARE = 0.04;
const PEER_SHARE = 0.005;
const PEER_KERNEL_SHARE = 0.02;
/** Of each of the addresses for readiness and metrics. */
const OBSERVABILITY_SHARE = 0.005;

/** Least bytes that the kernel may hold for callers: twice what it holds for one that does not read, by its usual settings. */
const LEAST_CALLER_KERNEL_BYTES = 8_000_000;

/** Shares of the descriptors that are left for sockets. */
const CALLER_SOCKETS = 0.5;
const INSTANCE_SOCKETS = 0.25;
const IDLE_INSTANCE_SOCKETS = 0.05;
/** Of each of the addresses for readiness, metrics and peers. */
const OTHER_SOCKETS = 0.03;

/** What a machine has, as far as the settings name it; 0 if they do not. */
export interface Machine {
  readonly memoryMegabytes: number;
  readonly descriptors: number;
}

/** Bounds for the connections to one address; sizes in bytes. */
export interface ServerShare {
  readonly maxConnections: number;
  /** Memory of the process. */
  readonly maxBytes: number;
  /** Memory of the kernel. */
  readonly maxKernelBytes: number;
}

/** Bounds for what others make a gateway hold. */
export interface MachineShares {
  readonly callerServer: ServerShare;
  readonly peerServer: ServerShare;
  /** For each of the addresses for readiness and metrics. */
  readonly observabilityServer: ServerShare;
  /** Bytes of request bodies. */
  readonly bodyBytes: number;
  /** Connections to instances that carry requests. */
  readonly instanceConnections: number;
  /** Connections to instances that are kept open without a request. */
  readonly idleInstanceConnections: number;
}

/** Memory of a machine. */
export function bytesOf({memoryMegabytes}: Machine): number {
  return (memoryMegabytes || DEFAULT_MEMORY_MEGABYTES) * BYTES_PER_MEGABYTE;
}

/** Divides a machine. */
export function divide(machine: Machine): MachineShares {
  const bytes = bytesOf(machine);
  const descriptors = machine.descriptors || DEFAULT_DESCRIPTORS;
  const sockets = Math.max(FILE_DESCRIPTORS, descriptors - FILE_DESCRIPTORS);
  const share = (
    socketShare: number,
    byteShare: number,
    kernelShare: number,
  ) => ({
    maxConnections: Math.floor(sockets * socketShare),
    maxBytes: bytes * byteShare,
    maxKernelBytes: bytes * kernelShare,
  });
  return {
    callerServer: {
      ...share(CALLER_SOCKETS, CONNECTION_SHARE, CALLER_KERNEL_SHARE),
      maxKernelBytes: Math.max(
        LEAST_CALLER_KERNEL_BYTES,
        bytes * CALLER_KERNEL_SHARE,
      ),
    },
    peerServer: share(OTHER_SOCKETS, PEER_SHARE, PEER_KERNEL_SHARE),
    observabilityServer: share(
      OTHER_SOCKETS,
      OBSERVABILITY_SHARE,
      OBSERVABILITY_SHARE,
    ),
    bodyBytes: bytes * BODY_SHARE,
    instanceConnections: Math.floor(sockets * INSTANCE_SOCKETS),
    idleInstanceConnections: Math.floor(sockets * IDLE_INSTANCE_SOCKETS),
  };
}
