#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs the same without the disruption.
exec "$(dirname "$0")/../run-case.sh" 5 NoTenants
