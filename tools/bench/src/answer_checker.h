#pragma once

#include "config/document.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace banyancroft::tools {

/** What one answer of POST /v1/query says, and whether it is true. */
struct CheckedAnswer {
    /** Refused: the statement was rejected with a 4xx status. */
    enum class Outcome { Done, NotRun, Unknown, Rejected, Malformed };

    Outcome outcome = Outcome::Malformed;
    /** All shards of the collection are covered and nothing is false. */
    bool complete = false;
    /** Empty, or how rows, versions and claimed coverage contradict each other. */
    std::string coverageError;
    std::string reason;
    /** Reasons of the shards that a search lacks, with their numbers. */
    std::map<std::string, std::uint64_t> missing;
};

/**
 * Compares the rows of answers with the rows that the emulators hold, which follow from shard, layout
 * and index version alone (see upstream_emulator/rows.h). Not changed after construction.
 */
class AnswerChecker {
public:
    explicit AnswerChecker(const config::Document& document);

    CheckedAnswer checkSearch(std::size_t collection, unsigned status, std::string_view body) const;
    static CheckedAnswer checkSubmit(unsigned status, std::string_view body);

    /** Sub-requests that a search of the collection needs: one per group. */
    std::size_t groups(std::size_t collection) const { return groups_.at(collection); }

private:
    std::vector<std::set<std::string>> shards_;
    std::vector<std::size_t> groups_;
};

} // namespace banyancroft::tools
