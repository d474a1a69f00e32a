# Warnings and sanitizers for every target. Warnings are errors only where we
# develop: another compiler or level of optimization may have others.
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers)
if(NOT SNIPEWORKS_PLATFORM_BUILD)
  add_compile_options(-Werror)
endif()
if(SNIPEWORKS_SANITIZE)
  add_compile_options(-fsanitize=${SNIPEWORKS_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${SNIPEWORKS_SANITIZE})
endif()
