# snipeworks_program(NAME): a program from every source file in this folder.
function(snipeworks_program name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE snipeworks)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()
