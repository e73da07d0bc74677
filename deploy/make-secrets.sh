#!/usr/bin/env bash
# Creates the secrets of a deployment folder and writes its deployment.json from
# deployment.template.json. Keeps existing secrets, so that a second run does not lock out running
# daemons and callers.
#
# usage: deploy/make-secrets.sh FOLDER
# The environment variable CELERYGATE is the path of the celerygate binary; if it is not set, cargo
# builds and runs the binary.
set -eu
umask 077
if [ $# -ne 1 ] || [ ! -f "$1/deployment.template.json" ]; then
    echo "usage: $0 FOLDER (a folder with deployment.template.json)" >&2
    exit 2
fi
folder=$(cd "$1" && pwd)
repository=$(cd "$(dirname "$0")/.." && pwd)

hash_key() {
    if [ -n "${CELERYGATE:-}" ]; then
        "$CELERYGATE" hash-key "$1"
    else
        cargo run --quiet --manifest-path "$repository/Cargo.toml" -p celerygate -- hash-key "$1"
    fi
}

# Writes 32 random bytes in hexadecimal to a file, unless it has content.
make_secret() {
    [ -s "$1" ] || head -c 32 /dev/urandom | od -An -v -tx1 | tr -d ' \n' >"$1"
}

mkdir -p "$folder/secrets/keys"
chmod 700 "$folder/secrets" "$folder/secrets/keys"
for name in daemons operators targets; do
    make_secret "$folder/secrets/$name.token"
done

deployment=$(cat "$folder/deployment.template.json")
for organisation in $(grep -o '@HASH [a-z0-9._-]*@' "$folder/deployment.template.json" |
    sed 's/@HASH \(.*\)@/\1/'); do
    key="$folder/secrets/keys/$organisation.key"
    make_secret "$key"
    hash=$(hash_key "$key")
    deployment=${deployment//@HASH $organisation@/$hash}
done
printf '%s\n' "$deployment" >"$folder/deployment.json.new"
mv "$folder/deployment.json.new" "$folder/deployment.json"
chmod 600 "$folder"/secrets/*.token "$folder"/secrets/keys/*.key "$folder/deployment.json"
echo "wrote $folder/deployment.json and $folder/secrets"
