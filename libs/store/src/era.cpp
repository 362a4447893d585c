#include "store/era.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace banyancroft::store {

namespace {

std::optional<StoreEra> parseEra(std::string_view text)
{
    StoreEra era;
    const auto* const end = text.data() + text.size();
    const auto [last, failure] = std::from_chars(text.data(), end, era.value);
    if (failure != std::errc() || last != end)
        return std::nullopt;
    return era;
}

} // namespace

StoreEra EraTracker::observe(std::optional<std::string_view> stated, StoreEra askedIn)
{
    if (!stated)
        return askedIn ? reject("the answer states no era", askedIn) : askedIn;
    const auto era = parseEra(*stated);
    if (!era)
        return reject("the era is not a whole number", askedIn);
    if (*era < askedIn)
        return reject("the era has fallen to " + std::to_string(era->value), askedIn);
    learn(*era);
    return *era;
}

void EraTracker::learn(StoreEra era) { current_ = std::max(current_, era); }

StoreEra EraTracker::reject(std::string_view problem, StoreEra askedIn)
{
    ++invalidAnswers_;
    lastProblem_ = { ErrorKind::MalformedMessage,
        std::string(problem) + " after era " + std::to_string(askedIn.value) + " was seen",
        "check the store and what stands between it and this VM" };
    return askedIn;
}

} // namespace banyancroft::store
