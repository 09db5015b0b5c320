#!/bin/sh
cd "$(dirname "$0")/../.." && exec python3 -S review/7/case.py
