# banyancroft_fuzzer(NAME) adds fuzz_NAME from fuzz/fuzz_NAME.cpp of the calling folder when
# BANYANCROFT_FUZZERS is on. The library itself is built with coverage for libFuzzer by fuzz/run.
function(banyancroft_fuzzer NAME)
    if(NOT BANYANCROFT_FUZZERS)
        return()
    endif()
    add_executable(fuzz_${NAME} fuzz/fuzz_${NAME}.cpp)
    target_link_libraries(fuzz_${NAME} PRIVATE banyancroft_${NAME})
    target_link_options(fuzz_${NAME} PRIVATE -fsanitize=fuzzer)
endfunction()
