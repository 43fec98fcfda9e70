.PHONY: build test lint run

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test:
	./test

lint:
	clang-format --dry-run --Werror $$(git ls-files '*.cpp' '*.hpp')

run: build
	GW_CONFIG=$(CONFIG) build/merlinbridge
