#!/bin/sh
# Prepares the stand-ins of the script cases 4 to 6: plain Python, standard library only.
# The bytecode goes below target/, and each file is compiled as a check.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
for file in review/rig-2/rig.py review/4/case.py review/5/case.py review/6/case.py; do
    if [ -f "$file" ]; then
        name=$(echo "$file" | tr / -)
        python3 -c "import py_compile,sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)" \
            "$file" "target/review-2/$name.pyc" || exit 1
    fi
done
