#include "session.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>

namespace cowsliprock::cli {

namespace {

using nlohmann::json;

[[nodiscard]] std::string cellText(const json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_null())
        return "-";
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

[[nodiscard]] bool isTable(const json &value)
{
    return value.is_array() && !value.empty()
        && std::all_of(value.begin(), value.end(), [](const json &row) { return row.is_object(); });
}

void printTable(std::ostream &out, const json &rows)
{
    std::map<std::string, std::size_t> widths;
    for (const json &row : rows) {
        for (const auto &[name, value] : row.items()) {
            auto &width = widths.emplace(name, name.size()).first->second;
            width = std::max(width, cellText(value).size());
        }
    }
    const auto printRow = [&](const auto &text) {
        for (const auto &[name, width] : widths)
            out << std::left << std::setw(static_cast<int>(width) + 2) << text(name);
        out << '\n';
    };
    printRow([](const std::string &name) { return name; });
    for (const json &row : rows)
        printRow([&](const std::string &name) { return cellText(row.value(name, json())); });
}

} // namespace

void printText(std::ostream &out, const json &value)
{
    if (isTable(value)) {
        printTable(out, value);
    } else if (value.is_object()) {
        for (const auto &[name, member] : value.items()) {
            if (isTable(member)) {
                out << name << ":\n";
                printTable(out, member);
            } else {
                out << name << ": " << cellText(member) << '\n';
            }
        }
    } else {
        out << cellText(value) << '\n';
    }
}

} // namespace cowsliprock::cli
