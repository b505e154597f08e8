# Sourced: installs the Debian packages that a build needs, if any is missing.
pkgs="build-essential pkg-config libglib2.0-dev libsoup-3.0-dev libtirpc-dev
libjson-glib-dev libyajl-dev libhttp-parser-dev check clang-format clang-tidy cppcheck gnuplot-nox"
missing=
for p in $pkgs; do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
if [ -n "$missing" ]; then
	apt-get update -qq
	# shellcheck disable=SC2086
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
fi
