# Warnings and sanitizers for every target.
add_compile_options(-Wall -Wextra -Werror -Wno-missing-field-initializers)
if(SNIPEWORKS_SANITIZE)
  add_compile_options(-fsanitize=${SNIPEWORKS_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${SNIPEWORKS_SANITIZE})
endif()
