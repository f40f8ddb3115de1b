// Node's http module with a keep-alive agent as a caller: client.js OUT SECONDS ROUTERS SEED. Writes what client.py writes.
'use strict';
const fs = require('fs');
const http = require('http');

const [out, seconds, routers] = process.argv.slice(2);
const callers = 6;
const end = Date.now() + seconds * 1000;
const timeouts = {verdict: 6000, note: 15000, notice: 1000, fetch: 1000};
const kinds = ['verdict', 'note', 'note', 'notice', 'fetch'];
const agent = new http.Agent({keepAlive: true});
const rows = [];
let count = 0;

const pick = (list) => list[Math.floor(Math.random() * list.length)];

function drawRequest() {
    const kind = pick(kinds);
    const id = `${kind}-node-${++count}`;
    const fields = {'Host': 'x.example', 'Verbenaladder-Attempt-Id': id, 'Verbenaladder-Deadline-Ms': String(timeouts[kind]), 'Authorization': 'Token secret'};
    if (kind === 'verdict' || kind === 'note') {
        Object.assign(fields, {'Verbenaladder-Model': 'm', 'Verbenaladder-Token-Count': '900,20', 'Verbenaladder-Prompt-Prefix': `${1 + count % 19}:800,1${count % 300}:100`});
    }
    const body = kind === 'fetch' ? undefined : 'x'.repeat(pick([600, 1700, 18000]));
    return {id, router: pick(routers.split(',')), method: body ? 'POST' : 'GET', path: `/${kind}/a`, fields, body, timeout: timeouts[kind] + 500};
}

function ask(request) {
    return new Promise((resolve, reject) => {
        const [host, port] = request.router.split(':');
        const call = http.request({host, port, agent, method: request.method, path: request.path, headers: request.fields}, (answer) => {
            answer.on('data', () => {});
            answer.on('end', () => resolve(answer.statusCode));
            answer.on('error', reject);
            answer.on('aborted', () => reject(new Error('aborted')));
        });
        call.setTimeout(request.timeout, () => call.destroy(new Error('timeout')));
        call.on('error', reject);
        call.end(request.body);
    });
}

async function runCaller() {
    while (Date.now() < end) {
        const request = drawRequest();
        const begun = Date.now() / 1000;
        let result;
        try {
            result = await ask(request);
        } catch (error) {
            result = `${error.name} ${error.message} ${error.code || ''}`.slice(0, 120);
        }
        rows.push(JSON.stringify({id: request.id, router: request.router, begun, ended: Date.now() / 1000, end: result}));
        await new Promise((resolve) => setTimeout(resolve, Math.random() * 100));
    }
}

Promise.all(Array.from({length: callers}, runCaller)).then(() => {
    fs.writeFileSync(out, rows.join('\n') + '\n');
    process.exit(0);
});
