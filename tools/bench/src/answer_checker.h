#pragma once

#include "config/document.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace banyancroft::tools {

/** Result of checking one answer of POST /v1/query. */
struct CheckedAnswer {
    /** Rejected: the daemon rejected the statement with a 4xx status. */
    enum class Outcome { Done, NotRun, Unknown, Rejected, Malformed };

    Outcome outcome = Outcome::Malformed;
    /** True if all shards of the collection are covered and the check found no error. */
    bool complete = false;
    /** Contradiction between rows, versions and reported coverage; empty if there is none. */
    std::string coverageError;
    /** Reason given by the daemon, or why the answer is malformed. */
    std::string reason;
    /** Number of missing shards of a search per reason. */
    std::map<std::string, std::uint64_t> missing;
};

/**
 * Checks answers against the rows of the emulated upstreams, which depend on shard, layout and index version
 * only (see upstream_emulator/rows.h). Immutable.
 */
class AnswerChecker {
public:
    explicit AnswerChecker(const config::Document& document);

    CheckedAnswer checkSearch(std::size_t collection, unsigned status, std::string_view body) const;
    static CheckedAnswer checkSubmit(unsigned status, std::string_view body);

    /** Number of sub-requests that a search of the collection needs: one per group. */
    std::size_t groups(std::size_t collection) const { return groups_.at(collection); }

private:
    std::vector<std::set<std::string>> shards_;
    std::vector<std::size_t> groups_;
};

} // namespace banyancroft::tools
