// snipe-control: a control host, which stores settings, routes and claims.

#include "snipeworks/host_programs.h"

int main(int argc, char** argv) {
  return snipeworks::RunControlProgram(argc, argv, snipeworks::ControlNames(),
                                       std::nullopt);
}
