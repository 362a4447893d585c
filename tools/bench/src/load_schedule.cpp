#include "load_schedule.h"

#include <algorithm>
#include <random>

namespace banyancroft::tools {

namespace {

/** Gap between two requests with one key, short enough for the first to be still running usually. */
constexpr auto duplicateGap = std::chrono::milliseconds(5);
/** More rows than any collection has, so that no answer is truncated. */
constexpr const char* searchLimit = " limit 10000";
/** Ratio of the search rates of one collection and its predecessor in the document. */
constexpr double collectionDecay = 0.5;

const config::Operation* nonIdempotentOperation(const config::Document& document)
{
    const auto found = std::ranges::find_if(
        document.operations, [](const auto& operation) { return operation.nonIdempotent; });
    return found == document.operations.end() ? nullptr : &*found;
}

} // namespace

std::vector<PlannedRequest> makeSchedule(const config::Document& document, const LoadSettings& settings)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> gap(settings.rate);
    std::uniform_real_distribution<double> percent(0, 100);
    std::vector<double> weights;
    double weight = 1;
    for (std::size_t count = 0; count < document.collections.size(); ++count) {
        weights.push_back(weight);
        weight *= collectionDecay;
    }
    std::discrete_distribution<std::size_t> collection(weights.begin(), weights.end());
    const auto* operation = nonIdempotentOperation(document);

    std::vector<PlannedRequest> schedule;
    std::chrono::duration<double> at { gap(random) };
    std::uint64_t submits = 0;
    for (; at < settings.length; at += std::chrono::duration<double>(gap(random))) {
        PlannedRequest request;
        request.at = std::chrono::duration_cast<Duration>(at);
        request.daemonSelector = random();
        if (!operation || percent(random) >= settings.submitPercent) {
            request.collection = collection(random);
            request.statement = "search " + document.collections[request.collection].name + searchLimit;
            schedule.push_back(std::move(request));
            continue;
        }
        request.kind = PlannedRequest::Kind::Submit;
        request.key = "bench-" + std::to_string(settings.seed) + "-" + std::to_string(++submits);
        request.statement = "submit " + operation->name + " key \"" + request.key
            + "\" {\"number\":" + std::to_string(submits) + "}";
        const bool duplicate = percent(random) < settings.duplicatePercent;
        schedule.push_back(request);
        if (duplicate) {
            request.at += duplicateGap;
            ++request.daemonSelector;
            schedule.push_back(std::move(request));
        }
    }
    std::ranges::stable_sort(schedule, {}, &PlannedRequest::at);
    return schedule;
}

} // namespace banyancroft::tools
