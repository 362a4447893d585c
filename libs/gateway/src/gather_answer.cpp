#include "gather_answer.h"

#include "dispatch/record_merge.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace banyancroft::gateway {

http::Response gatherAnswer(std::span<const Part> parts, std::size_t topRecords, const HeaderNames& names)
{
    std::vector<std::string_view> signatures;
    std::vector<std::string_view> records;
    for (const auto& part : parts) {
        const bool isKnown
            = std::find(signatures.begin(), signatures.end(), part.signature) != signatures.end();
        if (part.signature.empty() || isKnown)
            continue;
        signatures.emplace_back(part.signature);
        records.emplace_back(part.records);
    }
    std::string list;
    for (const auto signature : signatures) {
        if (!list.empty())
            list.append(", ");
        list.append(signature);
    }
    http::Response response;
    response.fields.emplace_back("Content-Type", "application/octet-stream");
    response.fields.emplace_back(names.partSignatures, std::move(list));
    response.fields.emplace_back(names.missingParts, std::to_string(parts.size() - signatures.size()));
    response.body = dispatch::mergeTopRecords(records, topRecords);
    return response;
}

std::size_t neededParts(std::size_t shards, double minCoverage)
{
    // Rounding errors of the product must not ask for one part more.
    constexpr double tolerance = 1e-9;
    const double least = std::ceil(static_cast<double>(shards) * minCoverage - tolerance);
    return std::clamp<std::size_t>(
        least <= 1 ? 1 : static_cast<std::size_t>(least), 1, std::max<std::size_t>(shards, 1));
}

} // namespace banyancroft::gateway
