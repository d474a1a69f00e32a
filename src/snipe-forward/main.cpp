// snipe-forward: an entry host that forwards requests according to its routes.

#include "snipeworks/host_programs.h"

int main(int argc, char** argv) {
  return snipeworks::RunForwardProgram(argc, argv, snipeworks::ForwardNames(),
                                       std::nullopt);
}
