# banyancroft_fuzzer(NAME)
# Adds the libFuzzer target fuzz_NAME from fuzz/fuzz_NAME.cpp of the calling directory if BANYANCROFT_FUZZERS is on.
# fuzz/run sets the compiler flags that instrument the libraries.
function(banyancroft_fuzzer NAME)
    if(NOT BANYANCROFT_FUZZERS)
        return()
    endif()
    add_executable(fuzz_${NAME} fuzz/fuzz_${NAME}.cpp)
    target_link_libraries(fuzz_${NAME} PRIVATE banyancroft_${NAME})
    target_link_options(fuzz_${NAME} PRIVATE -fsanitize=fuzzer)
endfunction()
