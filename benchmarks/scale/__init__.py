"""Scale benchmarks: the growth of each cost, the figures of docs/CAPACITY.md, runs with many dispatchers.

python -m benchmarks.scale slopes --out FILE
python -m benchmarks.scale page --from FILE
python -m benchmarks.scale run --dispatchers N --seed S [--fault NAME]
"""
