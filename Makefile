# Builds every library, program and test.  "make SAN=1" adds the address and
# undefined-behaviour sanitizers and builds into build-san.

PKGS = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 libtirpc json-glib-1.0 yajl
LIBDIRS = port rpc core/conf core/memb core/dist core/call core/burn \
	core/rtab core/reg core/quar core/limit core/beacon adapter/rpcio adapter/httpio adapter/sysio \
	adapter/h1 platform bench/mesh bench/fakenet \
	bench/sim bench/soak
PROGS = ptnode ptproxy ptctl ptburn ptlog ptback ptload
BENCHES = $(patsubst bench/%.c,%,$(wildcard bench/*.c))
# memory_test measures a whole process, which sanitizers enlarge.
TESTS = $(patsubst test/%.c,%,$(filter-out test/faults_test.c \
	$(if $(SAN),test/memory_test.c),$(wildcard test/*_test.c)))

ifdef SAN
B = build-san
SANFLAGS = -fsanitize=address,undefined -fno-sanitize-recover=undefined \
	-fno-omit-frame-pointer
else
B = build
endif
# "make MUTANTS=1" compiles the deliberate faults of docs/faults.md in.
ifdef MUTANTS
B = build-mutants
DEFS += -DPT_MUTANTS
endif

CC ?= cc
CFLAGS ?= -O2 -g
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wno-unused-parameter
INC = $(addprefix -I,$(LIBDIRS))
PKGFLAGS := $(shell pkg-config --cflags $(PKGS))
LDLIBS := $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lm
CHECKFLAGS := $(shell pkg-config --cflags check)
CHECKLIBS := $(shell pkg-config --libs check)
ALL = $(CFLAGS) -std=gnu11 $(WARN) $(SANFLAGS) \
	$(DEFS) $(INC) $(PKGFLAGS)

libsrc = $(foreach d,$(LIBDIRS),$(wildcard $d/*.c))
LIBOBJ = $(patsubst %.c,$B/%.o,$(libsrc))
LIB = $B/libprimrosetide.a

progdir = $(firstword $(wildcard cmd/$1 standin/$1))
progobj = $(patsubst %.c,$B/%.o,$(wildcard $(call progdir,$1)/*.c))
HAVE = $(foreach p,$(PROGS),$(if $(wildcard $(call progdir,$p)/main.c),$p))

# The fault matrix runs whole nodes on the fakes of test/cluster.
NODEOBJ = $(patsubst %.c,$B/%.o,$(filter-out %/main.c,$(wildcard cmd/ptnode/*.c)))
CLUSTEROBJ = $(patsubst %.c,$B/%.o,$(wildcard test/cluster/*.c test/faults/*.c)) \
	$(NODEOBJ)

all: $(addprefix $B/bin/,$(HAVE) $(BENCHES)) tests
tests: $(addprefix $B/test/,$(TESTS)) $B/test/faults_test

$(LIB): $(LIBOBJ)
	@rm -f $@
	@ar rcs $@ $(LIBOBJ)

$B/rpc/%.o: rpc/%.c
	@mkdir -p $(@D)
	$(CC) $(ALL) -Wno-unused-variable -MMD -c $< -o $@

$B/test/%.o: test/%.c
	@mkdir -p $(@D)
	$(CC) $(ALL) $(CHECKFLAGS) -MMD -c $< -o $@

$B/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL) -MMD -c $< -o $@

define prog
$B/bin/$1: $(call progobj,$1) $(LIB)
	@mkdir -p $$(@D)
	$(CC) $(SANFLAGS) -o $$@ $(call progobj,$1) $(LIB) $(LDLIBS)
endef
$(foreach p,$(HAVE),$(eval $(call prog,$p)))

$(addprefix $B/bin/,$(BENCHES)): $B/bin/%: $B/bench/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANFLAGS) -o $@ $< $(LIB) $(LDLIBS)

# Files in test/ that are not *_test.c are shared by all tests.
TESTLIB = $(patsubst %.c,$B/%.o,$(filter-out %_test.c,$(wildcard test/*.c)))
$(addprefix $B/test/,$(TESTS)): $B/test/%: $B/test/%.o $(TESTLIB) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $< $(PARTS) $(TESTLIB) $(LIB) $(LDLIBS) $(CHECKLIBS)

# This test calls parts of the node.
$B/test/announce_test: PARTS = $(NODEOBJ)
$B/test/announce_test: $(NODEOBJ)
$B/test/announce_test.o: ALL += -Icmd/ptnode

PROXYOBJ = $(patsubst %.c,$B/%.o,$(filter-out %/main.c,$(wildcard cmd/ptproxy/*.c)))
PROXYTESTS = $(addprefix $B/test/,proxy_test source_test ingress_test stop_test \
	keys_test)
$(PROXYTESTS): PARTS = $(PROXYOBJ)
$(PROXYTESTS): $(PROXYOBJ)
$(PROXYTESTS:=.o): ALL += -Icmd/ptproxy

# These tests advance the clock.
PAUSEDTESTS = $(addprefix $B/test/,source_test stop_test keys_test h1_stall_test)
PAUSEDOBJ = $B/test/paused/paused.o
$(PAUSEDTESTS): PARTS += $(PAUSEDOBJ)
$(PAUSEDTESTS): $(PAUSEDOBJ)
$(PAUSEDTESTS:=.o) $(PAUSEDOBJ): ALL += -Itest/paused

# Tests of whole processes start these programs.
$B/test/standin_test: | $(addprefix $B/bin/,ptlog ptback)
$B/test/memory_test: | $B/bin/ptproxy
# This test calls a part of the program.
$B/test/ptburn_test: PARTS = $B/cmd/ptburn/fetch.o
$B/test/ptburn_test: $B/cmd/ptburn/fetch.o
$B/test/ptburn_test.o: ALL += -Icmd/ptburn

# This test runs the program.
$B/test/ptctl_test: $B/bin/ptctl

$B/test/faults_test: $(CLUSTEROBJ) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $(CLUSTEROBJ) $(LIB) $(LDLIBS) $(CHECKLIBS)

$B/test/cluster/%.o $B/test/faults/%.o: ALL += -Icmd/ptnode -Itest/cluster

gen:
	cd rpc && rm -f pt.h pt_xdr.c && rpcgen -h -o pt.h pt.x && \
	    rpcgen -c -o pt_xdr.c pt.x

clean:
	rm -rf build build-san

# Sources under the formatter and the linter: all but generated code.
SRC = $(shell git ls-files --cached --others --exclude-standard '*.c' '*.h' | grep -v '^rpc/')
CSRC = $(filter %.c,$(SRC))
fmt:
	clang-format -i $(SRC)
fmt-check:
	clang-format --dry-run -Werror $(SRC)
lint:
	printf '%s\n' $(CSRC) | xargs -P 5 -n 4 sh -c 'clang-tidy -quiet "$$@" -- \
	    $(filter-out -Werror,$(ALL)) -Icmd/ptnode -Icmd/ptproxy -Icmd/ptburn -Itest/cluster -Itest/paused $(CHECKFLAGS) 2>/dev/null' tidy
	cppcheck -q -j 4 --error-exitcode=1 --enable=warning,portability \
	    --inline-suppr --library=gtk --suppress=missingInclude --suppress=memleak -D__GNUC__ \
	    $(INC) -Icmd/ptnode -Icmd/ptproxy -Icmd/ptburn -Itest/cluster -Itest/paused $(CSRC)

.PHONY: all tests gen clean fmt fmt-check lint
.SECONDARY:
-include $(shell find $B -name '*.d' 2>/dev/null)
