// snipe-forward: an entry host that forwards callers' requests as routes say.

#include "snipeworks/edge_programs.h"

int main(int argc, char** argv) {
  return snipeworks::RunForwardProgram(argc, argv, snipeworks::ForwardNames(),
                                       std::nullopt);
}
