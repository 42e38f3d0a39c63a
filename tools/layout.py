#!/usr/bin/env python3
"""Lays out a small deployment of a fleet file on this machine.

usage: layout.py FLEET_FILE FOLDER [ENTRIES_PER_DOMAIN]

Writes settings of the stand-ins and of the entry instances into FOLDER, and a file `addresses`
of shell variables. Ports: 20001 and up for entry instances, 20101 and up for their peers, 20901
and up for the platform's stand-ins; endpoints stand where the fleet file says.
"""

import json
import pathlib
import sys

HOST = "127.0.0.1"
ENTRY_PORT = 20001
PEER_PORT = 20101
LOG, LIST, WEIGHTS, ENGINES, SERVICES = (f"{HOST}:{port}" for port in range(20901, 20906))
PEER_KEY = "demo-peer-key-not-secret"
OPERATOR_KEY = "demo-operator-key"


def write(folder, name, value):
    (folder / name).write_text(json.dumps(value, indent=2))


def engine_entry(endpoint, models):
    model = models[endpoint["model"]]
    return {
        "id": endpoint["id"],
        "listen": endpoint["address"],
        "checks_fence": endpoint.get("fencing", "ignores") == "checks",
        "role": endpoint.get("role", "mixed"),
        "model": model["id"],
        "version": model["version"],
        "adapters": [f'{one["id"]}@{one["version"]}' for one in model.get("adapters", [])],
    }


def lay_endpoints(fleet, folder):
    models = {model["id"]: model for model in fleet["models"]}
    engines = [e for e in fleet["endpoints"] if e["kind"] == "engine"]
    services = [e for e in fleet["endpoints"] if e["kind"] == "service"]
    write(folder, "engines.json", {
        "control": ENGINES,
        "weights": WEIGHTS,
        "shards": 4,
        "defaults": {"workers": 64, "change_in_ms": 3000},
        "engines": [engine_entry(engine, models) for engine in engines],
    })
    write(folder, "services.json", {
        "control": SERVICES,
        "instances": [{"id": s["id"], "listen": s["address"]} for s in services],
    })


def entry_settings(name, domain, index):
    return {
        "instance": name,
        "domain": domain,
        "listen": f"{HOST}:{ENTRY_PORT + index}",
        "peerListen": f"{HOST}:{PEER_PORT + index}",
        "peerKey": PEER_KEY,
        "operatorKey": OPERATOR_KEY,
        "logService": LOG,
        "instanceList": LIST,
        "weightStore": WEIGHTS,
        "maxStreams": 256,
    }


def lay_entries(fleet, folder, per_domain):
    listed = []
    names = []
    for domain in fleet["domains"]:
        for _ in range(per_domain):
            index = len(names)
            name = f"{domain}-entry-{index}"
            names.append(name)
            settings = entry_settings(name, domain, index)
            write(folder, f"{name}.json", settings)
            listed.append({"id": name, "kind": "entry", "domain": domain,
                           "address": settings["peerListen"], "state": "live"})
    write(folder, "instances.json", {"instances": listed})
    return names


def main():
    fleet = json.loads(pathlib.Path(sys.argv[1]).read_text())
    folder = pathlib.Path(sys.argv[2])
    per_domain = int(sys.argv[3]) if len(sys.argv) > 3 else 2
    folder.mkdir(parents=True, exist_ok=True)
    lay_endpoints(fleet, folder)
    names = lay_entries(fleet, folder, per_domain)
    entries = ",".join(f"{HOST}:{ENTRY_PORT + index}" for index in range(len(names)))
    (folder / "addresses").write_text(
        f"LOG={LOG}\nLIST={LIST}\nWEIGHTS={WEIGHTS}\nENGINES={ENGINES}\nSERVICES={SERVICES}\n"
        f"ENTRY_NAMES='{' '.join(names)}'\nENTRIES={entries}\nOPERATOR_KEY={OPERATOR_KEY}\n")


if __name__ == "__main__":
    main()
