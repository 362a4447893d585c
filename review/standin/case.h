#pragma once

#include "record.h"

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

namespace review {

enum class Verdict { Held = 0, Broken = 1, CannotRun = 2 };

/** Runs a case: argument 1 is the path of its record; TROUBLE=0 leaves the disruption out. */
inline int runCase(int argc, char** argv, const std::function<Verdict(Record&, bool trouble)>& run)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return static_cast<int>(Verdict::CannotRun);
    }
    const char* variable = std::getenv("TROUBLE");
    const bool trouble = !variable || std::string(variable) != "0";
    Record record(argv[1]);
    auto verdict = Verdict::CannotRun;
    try {
        verdict = run(record, trouble);
    } catch (const std::exception& error) {
        record.line(std::string("cannot run: ") + error.what());
        std::cerr << error.what() << "\n";
    }
    const std::string text = verdict == Verdict::Held ? "rule held"
        : verdict == Verdict::Broken                  ? "rule broken"
                                                      : "case could not run";
    record.line((trouble ? "with the disruption: " : "without the disruption: ") + text);
    std::cout << text << "\n";
    return static_cast<int>(verdict);
}

} // namespace review
