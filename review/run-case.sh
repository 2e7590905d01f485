# Runs the case of the folder in `here`; sourced by the `run.sh` of each case.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$here/../.." && pwd)
WORK=$(mktemp -d)
export WORK
export RECORD="$here/record.txt"
export PROGRAM="$root/target/release/cactusyoke"

# Ends the nodes that the case has left behind.
clean_up() {
  if [ -f "$WORK/pids" ]; then
    while read -r pid; do
      if { tr '\0' ' ' < "/proc/$pid/cmdline"; } 2> /dev/null | grep -qF "$WORK/"; then
        kill -KILL "$pid" 2> /dev/null
      fi
    done < "$WORK/pids"
  fi
  rm -rf "$WORK"
}
trap clean_up EXIT

cd "$root" || exit 2
program="target/review/case-$(basename "$here")"
if [ ! -x "$program" ] || [ ! -x "$PROGRAM" ]; then
  echo "cannot run: build the deploy file and review/build.sh first" >&2
  exit 2
fi
timeout 110 "$program"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
