#pragma once

#include "config/document_json.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <string>

inline std::string readExample(const std::string& name)
{
    std::ifstream file(std::string(BANYANCROFT_EXAMPLES) + "/" + name);
    return { std::istreambuf_iterator<char>(file), {} };
}

inline banyancroft::config::Document pilakBalik()
{
    banyancroft::Error reason;
    auto document = banyancroft::config::parseDocument(readExample("pilak-balik.json"), reason);
    BOOST_REQUIRE_MESSAGE(document.has_value(), reason);
    return *document;
}
