// Makes the compiled programs executable.
const fs = require('node:fs');
for (const program of ['build/src/daemon/main.js', 'build/src/daemon/gateway_main.js', 'build/src/tool/main.js']) {
  fs.chmodSync(program, 0o755);
}
