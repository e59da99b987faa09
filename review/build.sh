#!/bin/sh
# Checks what the cases need; the stand-ins are one Python file that needs no building. No network.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "no .venv: run the build of deploy/balancer.toml first"; exit 1; }
PYTHONPATH=review .venv/bin/python -c "import dns.message, dns.rrset, standin"
