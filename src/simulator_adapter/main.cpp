// The program that the simulator starts: reads messages from standard input and replies on standard output.
// Exit codes: 0 end of input, 1 invalid input; the reason is on standard error.
#include <exception>
#include <iostream>

#include "simulator_adapter/simulator_adapter.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    merlinbridge::simulator_adapter::serve(std::cin, std::cout);
  } catch (const std::exception& e) {
    std::cerr << "merlinbridge_simulator_adapter: " << e.what() << '\n';
    return 1;
  }
}
