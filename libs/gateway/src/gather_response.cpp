#include "gather_response.h"

#include "dispatch/record_merge.h"

#include <algorithm>
#include <vector>

namespace banyancroft::gateway {

http::Response mergeShardResults(
    std::span<const ShardResult> results, std::size_t topRecords, const HeaderNames& names)
{
    std::vector<std::string_view> signatures;
    std::vector<std::string_view> records;
    for (const auto& result : results) {
        const bool isDuplicate
            = std::find(signatures.begin(), signatures.end(), result.signature) != signatures.end();
        if (result.signature.empty() || isDuplicate)
            continue;
        signatures.emplace_back(result.signature);
        records.emplace_back(result.records);
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
    response.fields.emplace_back(names.missingParts, std::to_string(results.size() - signatures.size()));
    response.body = dispatch::mergeTopRecords(records, topRecords);
    return response;
}

} // namespace banyancroft::gateway
