// snipe-forward: an entry host that forwards requests according to its routes.

#include "snipeworks/edge_programs.h"

int main(int argc, char** argv) {
  return snipeworks::RunForwardProgram(argc, argv, snipeworks::ForwardNames(),
                                       std::nullopt);
}
