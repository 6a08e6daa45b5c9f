# make            build the programs into $(B)
# make check      build and run all tests; ends with "N passed, N failed"
# make lint       run clang-format, clang-tidy and cppcheck
# make rpc        regenerate rpc/*.c and rpc/*.h from rpc/*.x
# make count      count lines of code by group of files
# make build-id   print the build id of these sources and their commit
# make install    install into $(DESTDIR)$(PREFIX)
# SAN=address,undefined or SAN=thread builds with that sanitizer.

PREFIX ?= /usr/local
B ?= build$(if $(SAN),-$(firstword $(subst $(comma), ,$(SAN))))
comma := ,
SAN ?=
CC = gcc
CXX = g++
PACKAGES = glib-2.0 liburcu liburcu-bp libmicrohttpd neon libtirpc jansson libxxhash \
	libcurl gnutls zlib
SANFLAGS = $(if $(SAN),-fsanitize=$(SAN) -fno-omit-frame-pointer)
WARNINGS = -Wall -Wextra -Wshadow -Wpointer-arith -Wvla
CPPFLAGS += -D_GNU_SOURCE -I. -Irpc $(shell pkg-config --cflags $(PACKAGES))
CFLAGS += -std=gnu11 -O2 -g -pthread $(WARNINGS) -Wstrict-prototypes \
	-Wmissing-prototypes $(SANFLAGS)
CXXFLAGS += -std=gnu++17 -O0 -g1 -Wall -Wextra $(SANFLAGS)
LDLIBS = $(shell pkg-config --libs $(PACKAGES)) -lm -pthread -lstdc++

# The sources are in one folder: a file is a module, its prefix names the group.
MAINS = hemlock-entry.c hemlock-keeper.c hemlockctl.c
LIB_C = $(filter-out $(MAINS),$(wildcard *.c)) $(wildcard platform/*.c)
LIB_CC = $(wildcard *.cc)
RPC_C = $(wildcard rpc/*.c)
# regress/test-*.c are GLib tests; the other files of regress/*.c and those of
# bench/*.c and review/ are tools. Each file is a program.
TEST_C = $(wildcard regress/test-*.c)
TOOL_C = $(filter-out $(TEST_C),$(wildcard regress/*.c)) $(wildcard bench/*.c) \
	$(wildcard review/*/*.c)

LIB_O = $(LIB_C:%.c=$(B)/%.o) $(LIB_CC:%.cc=$(B)/%.o) $(RPC_C:%.c=$(B)/%.o)
LIB = $(B)/libhemlock.a
PROGRAMS = $(patsubst %.c,$(B)/%,$(wildcard $(MAINS)))
TOOLS = $(patsubst %.c,$(B)/%,$(TOOL_C))
TESTS = $(patsubst %.c,$(B)/%,$(TEST_C))
LINT_C = $(wildcard *.c) $(wildcard platform/*.c) $(wildcard regress/*.c) $(wildcard bench/*.c)
FORMAT = $(LINT_C) $(wildcard *.h) $(wildcard platform/*.h) $(wildcard regress/*.h) $(wildcard bench/*.h) \
	$(wildcard *.cc)

# The build id is a digest of the sources that the programs are built from, with
# their names. It needs no git; the commit is "-" outside a checkout.
ID_SOURCES = $(sort $(wildcard *.c *.cc *.h platform/*.[ch] rpc/*.[ch]) Makefile)
BUILD_ID = sha256sum $(ID_SOURCES) | sha256sum | cut -c 1-12
COMMIT = { test -e .git && git rev-parse --short=7 HEAD 2>/dev/null; } || echo -

all: $(PROGRAMS)

tools: $(TOOLS) $(TESTS)

$(LIB): $(LIB_O)
	@rm -f $@
	ar rcs $@ $^

# The output of rpcgen is committed unchanged; its warnings are disabled.
$(B)/rpc/%.o: rpc/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -w -MMD -MP -c -o $@ $<

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(B)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(B)/%: $(B)/%.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(B)/build-id.o: $(B)/build-id.h
$(B)/build-id.o: CPPFLAGS += -include $(B)/build-id.h

# Compared at each run, but written only if the id or the commit has changed.
$(B)/build-id.h: FORCE
	@mkdir -p $(@D)
	@printf '#define BUILD_ID "%s"\n#define BUILD_COMMIT "%s"\n' \
	"$$($(BUILD_ID))" "$$($(COMMIT))" >$@.new
	@if cmp -s $@.new $@; then rm $@.new; else mv $@.new $@; fi

build-id:
	@echo "build=$$($(BUILD_ID)) commit=$$($(COMMIT))"

# This file defines _GNU_SOURCE itself.
$(B)/review/8/kept-caller.o: CPPFLAGS += -U_GNU_SOURCE

check: all tools
	sh regress/run.sh $(B)

lint: lint-format lint-tidy lint-cppcheck

lint-format:
	clang-format --dry-run --Werror $(FORMAT)

lint-tidy:
	printf '%s\n' $(LINT_C) | xargs -P 12 -n 1 sh -c \
	'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11 2>&1 | \
	grep -E "warning:|error:" && exit 1 || exit 0' sh

# uninitvar is suppressed because cppcheck reports the cursors of liburcu's list
# macros as uninitialised; gcc and clang-tidy check for uninitialised variables.
lint-cppcheck:
	cppcheck --quiet --enable=warning,performance,portability \
	--inline-suppr --library=gtk --error-exitcode=1 --std=c11 -j 12 -I. \
	--suppress=missingIncludeSystem --suppress=unknownMacro --suppress=uninitvar \
	--suppress=normalCheckLevelMaxBranches $(LINT_C)

format:
	clang-format -i $(FORMAT)

rpc:
	cd rpc && for x in *.x; do n=$${x%.x}; \
	rm -f $$n.h $${n}_xdr.c $${n}_clnt.c $${n}_svc.c; \
	rpcgen -N -M -C -h -o $$n.h $$x; rpcgen -N -M -C -c -o $${n}_xdr.c $$x; \
	grep -q '^program' $$x || continue; \
	rpcgen -N -M -C -l -o $${n}_clnt.c $$x; \
	rpcgen -N -M -C -m -o $${n}_svc.c $$x; done; true

count:
	@sh regress/count.sh

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib \
	$(DESTDIR)$(PREFIX)/include/hemlock
	install -m 755 $(PROGRAMS) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 644 *.h $(DESTDIR)$(PREFIX)/include/hemlock
	if ls man/*.[158] >/dev/null 2>&1; then for m in man/*.[158]; do \
	install -D -m 644 $$m \
	$(DESTDIR)$(PREFIX)/share/man/man$${m##*.}/$${m##*/}; done; fi
	if ls units/*.service >/dev/null 2>&1; then install -d \
	$(DESTDIR)$(PREFIX)/lib/systemd/system && install -m 644 \
	units/*.service $(DESTDIR)$(PREFIX)/lib/systemd/system; fi

clean:
	rm -rf build build-*

.PHONY: FORCE all tools build-id check lint lint-format lint-tidy lint-cppcheck format rpc \
	count install clean
.SECONDARY:

-include $(LIB_O:.o=.d) $(wildcard $(B)/*.d $(B)/regress/*.d $(B)/bench/*.d)
