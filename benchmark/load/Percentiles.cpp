#include "Percentiles.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace siskinspread::benchmark {

Percentiles percentilesOf(std::span<const double> values)
{
    namespace acc = boost::accumulators;
    if (values.size() < 2) { // the library has no quantile of a single value
        const double value = values.empty() ? 0 : values.front();
        return { .count = values.size(), .median = value, .p95 = value };
    }
    using Quantiles = acc::accumulator_set<double, acc::stats<acc::tag::tail_quantile<acc::right>>>;
    // A tail as long as the sample makes the quantiles exact.
    Quantiles quantiles(acc::tag::tail<acc::right>::cache_size = values.size());
    for (const double value : values) {
        quantiles(value);
    }
    return { .count = values.size(),
        .median = acc::quantile(quantiles, acc::quantile_probability = 0.5),
        .p95 = acc::quantile(quantiles, acc::quantile_probability = 0.95) };
}

} // namespace siskinspread::benchmark
