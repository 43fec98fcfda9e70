.PHONY: build test-services test lint run

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test-services:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DMERLINBRIDGE_TEST_SERVICES=ON
	cmake --build build -j4

test:
	./test

lint:
	scripts/check_policy.sh
	scripts/check_layout.sh
	scripts/check_headers.sh
	scripts/lint.sh

run: build
	GW_CONFIG=$(CONFIG) build/merlinbridge
