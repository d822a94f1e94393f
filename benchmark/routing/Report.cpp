#include "Report.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace siskinspread::benchmark {

namespace {

    using Value = double Measurement::*;

    struct Spread {
        double mean { 0 };
        double least { 0 };
        double greatest { 0 };
    };

    Spread spreadOf(const ContestantResult& row, Value value)
    {
        Spread spread { .mean = 0, .least = row.seeds.front().*value, .greatest = row.seeds.front().*value };
        for (const Measurement& seed : row.seeds) {
            spread.mean += seed.*value / static_cast<double>(row.seeds.size());
            spread.least = std::min(spread.least, seed.*value);
            spread.greatest = std::max(spread.greatest, seed.*value);
        }
        return spread;
    }

    std::string cell(const ContestantResult& row, Value value, double scale, int digits)
    {
        const Spread spread = spreadOf(row, value);
        std::ostringstream text;
        text << std::fixed << std::setprecision(digits) << spread.mean * scale << " (" << spread.least * scale << '-' << spread.greatest * scale << ')';
        return text.str();
    }

    std::string refusals(const ContestantResult& row)
    {
        std::map<std::string, double> means;
        for (const Measurement& seed : row.seeds) {
            for (const auto& [name, count] : seed.refusals) {
                means[name] += static_cast<double>(count) / static_cast<double>(row.seeds.size());
            }
        }
        std::ostringstream text;
        text << std::fixed << std::setprecision(1);
        for (const auto& [name, mean] : means) {
            text << name << ' ' << mean << ' ';
        }
        return text.str();
    }

    void printVerdict(std::ostream& out, const ScenarioResult& result)
    {
        const ContestantResult& ours = result.rows.front();
        for (size_t i = 1; i < result.rows.size(); ++i) {
            const ContestantResult& other = result.rows[i];
            const auto loses = [&ours, &other](Value value, double sign) {
                return sign * spreadOf(ours, value).mean > sign * spreadOf(other, value).mean;
            };
            if (loses(&Measurement::costPerThousand, 1)) {
                out << "  LOST to " << other.name << ": cost inside the target\n";
            }
            if (loses(&Measurement::recomputedPerThousand, 1)) {
                out << "  LOST to " << other.name << ": recomputed tokens\n";
            }
            if (loses(&Measurement::insideTarget, -1)) {
                out << "  LOST to " << other.name << ": share inside the target\n";
            }
        }
    }

    struct Panel {
        std::string_view title;
        Value value;
    };

    constexpr std::array panels {
        Panel { "requests inside the latency target, share", &Measurement::insideTarget },
        Panel { "cost per thousand inside the target", &Measurement::costPerThousand },
        Panel { "recomputed tokens per thousand computed", &Measurement::recomputedPerThousand },
    };
    constexpr std::array colours { "#1b6ca8", "#c9c9c9", "#f2a541", "#7fb069", "#a06cd5" };
    constexpr double panelHeight = 170;
    constexpr double plotHeight = 120;
    constexpr double leftMargin = 20;
    constexpr double barWidth = 18;
    constexpr double groupGap = 30;

    void writeBar(std::ostream& out, double x, double base, const Spread& spread, double scale, const char* colour)
    {
        const double centre = x + barWidth / 2;
        out << "<rect x='" << x << "' y='" << base - spread.mean * scale << "' width='" << barWidth - 2 << "' height='" << spread.mean * scale << "' fill='" << colour << "'/>"
            << "<line x1='" << centre << "' x2='" << centre << "' y1='" << base - spread.least * scale << "' y2='" << base - spread.greatest * scale << "' stroke='black'/>\n";
    }

    void writePanel(std::ostream& out, const std::vector<ScenarioResult>& results, const Panel& panel, double top)
    {
        double highest = 0;
        for (const ScenarioResult& result : results) {
            for (const ContestantResult& row : result.rows) {
                highest = std::max(highest, spreadOf(row, panel.value).greatest);
            }
        }
        const double base = top + 25 + plotHeight;
        out << "<text x='" << leftMargin << "' y='" << top + 15 << "' font-weight='bold'>" << panel.title << " (top of the scale " << highest << ")</text>\n";
        double x = leftMargin;
        for (const ScenarioResult& result : results) {
            out << "<text x='" << x << "' y='" << base + 14 << "'>" << result.scenario << "</text>\n";
            for (size_t i = 0; i < result.rows.size(); ++i) {
                writeBar(out, x, base, spreadOf(result.rows[i], panel.value), plotHeight / std::max(highest, 1e-9), colours[i % colours.size()]);
                x += barWidth;
            }
            x += groupGap;
        }
    }

    void writeLegend(std::ostream& out, const ScenarioResult& result, double top)
    {
        double x = leftMargin;
        for (size_t i = 0; i < result.rows.size(); ++i) {
            out << "<rect x='" << x << "' y='" << top << "' width='10' height='10' fill='" << colours[i % colours.size()] << "'/><text x='" << x + 14 << "' y='" << top + 10 << "'>" << result.rows[i].name << "</text>\n";
            x += 150;
        }
    }

} // namespace

void printTable(std::ostream& out, const ScenarioResult& result)
{
    out << "\n"
        << result.scenario << ": " << result.rows.front().seeds.size() << " seeds, mean (least-greatest)\n"
        << std::left << std::setw(25) << "  policy" << std::setw(22) << "inside target %" << std::setw(25) << "cost per 1000 inside" << std::setw(24) << "recomputed per 1000"
        << std::setw(24) << "first token p95 ms" << std::setw(21) << "worst customer %" << std::setw(21) << "best customer %"
        << "refusals and failures\n";
    for (const ContestantResult& row : result.rows) {
        out << "  " << std::left << std::setw(23) << row.name << ' ' << std::setw(22) << cell(row, &Measurement::insideTarget, 100, 1)
            << std::setw(25) << cell(row, &Measurement::costPerThousand, 1, 3) << std::setw(24) << cell(row, &Measurement::recomputedPerThousand, 1, 1)
            << std::setw(24) << cell(row, &Measurement::firstTokenP95, 1, 0) << std::setw(21) << cell(row, &Measurement::worstCustomer, 100, 1)
            << std::setw(21) << cell(row, &Measurement::bestCustomer, 100, 1) << refusals(row) << '\n';
    }
    printVerdict(out, result);
    out << std::flush;
}

void writePlot(std::ostream& out, const std::vector<ScenarioResult>& results)
{
    if (results.empty()) {
        return;
    }
    const double groupWidth = barWidth * static_cast<double>(results.front().rows.size()) + groupGap;
    const double width = 2 * leftMargin + groupWidth * static_cast<double>(results.size());
    const double height = panelHeight * panels.size() + 40;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height << "' font-family='sans-serif' font-size='11'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n";
    for (size_t i = 0; i < panels.size(); ++i) {
        writePanel(out, results, panels[i], panelHeight * static_cast<double>(i));
    }
    writeLegend(out, results.front(), panelHeight * panels.size() + 10);
    out << "</svg>\n";
}

} // namespace siskinspread::benchmark
