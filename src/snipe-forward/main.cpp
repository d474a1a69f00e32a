// snipe-forward: an entry host that forwards callers' requests as routes say.

#include "snipeworks/host_programs.h"

int main(int argc, char** argv) {
  return snipeworks::RunForwardProgram(argc, argv, snipeworks::ForwardNames(),
                                       std::nullopt);
}
