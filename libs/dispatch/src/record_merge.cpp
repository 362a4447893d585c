#include "dispatch/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace banyancroft::dispatch {

std::string mergeTopRecords(std::span<const std::string_view> parts, std::size_t top)
{
    std::vector<std::string_view> records;
    for (const auto part : parts) {
        for (std::size_t at = 0; at + recordBytes <= part.size(); at += recordBytes)
            records.push_back(part.substr(at, recordBytes));
    }
    const auto count = std::min(top, records.size());
    // std::string_view compares bytes as unsigned values.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(),
        std::greater<> {});
    std::string merged;
    merged.reserve(count * recordBytes);
    for (std::size_t i = 0; i < count; ++i)
        merged.append(records[i]);
    return merged;
}

} // namespace banyancroft::dispatch
