#!/bin/sh
# Not a case: an entry of the project's own that was tried. See REPORT.md, part two.
cd "$(dirname "$0")" && exec sh ../run-case.sh cut_answer
