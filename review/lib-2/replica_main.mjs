/** Runs one replica: node replica_main.mjs OPTIONS. Prints its address and start as JSON, then what it does. */
import * as replica from './replica.mjs';

const options = JSON.parse(process.argv[2]);
const bed = {record: {add: text => console.log(text)}};
const instance = new replica.Replica(bed, options);
instance.isUnframed = options.isUnframed === true;
await instance.listen();
console.log(JSON.stringify({address: instance.address, born: instance.born}));
// Ends with the script that started it.
const parent = process.ppid;
setInterval(() => process.ppid === parent || process.exit(0), 1_000).unref();
