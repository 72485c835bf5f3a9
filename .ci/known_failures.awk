# Judges the output of `cargo test --no-fail-fast` against the list of known failures.
#
# Variables: list, the path of KNOWN-RED.txt, which need not exist; cargo_status, the exit status of cargo.
# A line of the list is `<test binary>::<test>, cause, issue`. Exit status: 0 if every failure is listed and every listed
# test fails, else 1.

BEGIN {
    max_entry_length = 300
    if (list != "") {
        while ((getline line < list) > 0) read_entry(line)
    }
}

/^ +Running .*\(.*\)$/ {
    finish_binary()
    binary = $NF
    sub(/\)$/, "", binary)
    sub(/^.*\//, "", binary)
    sub(/-[0-9a-f]+$/, "", binary)
    awaits_result = 1
}

/^ +Doc-tests / {
    finish_binary()
    binary = "doc-" $2
    awaits_result = 1
}

# The list of failures that a test binary prints at its end: names with four spaces, after the captured output.
/^failures:$/ { in_failures = 1; next }
in_failures && /^    [^ ]/ {
    name = $0
    sub(/^    /, "", name)
    pending[name] = 1
    next
}
in_failures && !/^$/ && !/^test result:/ { in_failures = 0; split("", pending) }

/^test .* \.\.\. / {
    name = $0
    sub(/^test /, "", name)
    sub(/ \.\.\. .*$/, "", name)
    sub(/ - should panic$/, "", name)
    seen[binary "::" name]++
}

/^test result: / {
    awaits_result = 0
    in_failures = 0
    for (field = 1; field <= NF; field++) {
        if ($field ~ /^passed/) passed += $(field - 1)
        if ($field ~ /^failed;/) expected_failures = $(field - 1)
        if ($field ~ /^ignored/) ignored += $(field - 1)
    }
    named = 0
    for (name in pending) {
        failed[binary "::" name] = 1
        named++
    }
    if (named != expected_failures) {
        problem(binary ": " expected_failures " tests failed and " named " are named")
    }
    failures += expected_failures
    split("", pending)
}

END {
    finish_binary()
    judge()
    for (number = 1; number <= problems; number++) print "error: " messages[number]
    printf "tests: %d passed, %d failed, %d skipped\n", passed, failures, ignored
    exit problems > 0
}

function read_entry(line,    fields, test) {
    sub(/^[ \t]+/, "", line)
    if (line == "" || line ~ /^#/) return
    if (split(line, fields, /, /) < 3) {
        problem("KNOWN-RED.txt: a line needs test, cause and issue: " line)
        return
    }
    if (length(line) > max_entry_length) {
        problem("KNOWN-RED.txt: an entry of " length(line) " characters, at most " max_entry_length " are allowed: " substr(line, 1, 60))
    }
    test = fields[1]
    if (test in known) problem("KNOWN-RED.txt: listed twice: " test)
    known[test] = line
}

# A test binary that ends without its result has crashed or was ended.
function finish_binary() {
    if (awaits_result) problem(binary ": no result, the test binary did not come to its end")
    awaits_result = 0
}

function judge(    test, explained) {
    for (test in failed) {
        if (test in known) {
            print "known failure: " known[test]
            explained++
        } else {
            problem("failed: " test)
        }
    }
    for (test in known) {
        if (!(test in seen)) problem("KNOWN-RED.txt: there is no such test: " test)
        else if (seen[test] > 1) problem("KNOWN-RED.txt: several tests have this path: " test)
        else if (!(test in failed)) problem("KNOWN-RED.txt: this test passes, strike it: " test)
    }
    if (cargo_status != 0 && failures == 0) problem("cargo test ended with status " cargo_status " and no failed test")
    if (passed + failures == 0) problem("no test ran")
}

function problem(message) { messages[++problems] = message }
