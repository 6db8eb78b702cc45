#pragma once

#include <kernel/messages.h>
#include <platform/body.h>

#include <utility>
#include <variant>

namespace cowsliprock {

/// Key of the body that a message refers to; empty if it carries none.
[[nodiscard]] inline BodyKey bodyKeyOf(const Message &message)
{
    return std::visit(
        [](const auto &kind) -> BodyKey {
            if constexpr (requires { kind.bodyKey; })
                return kind.bodyKey;
            else if constexpr (requires { kind.answer.body; })
                return kind.answer.body;
            else
                return {};
        },
        message);
}

/// Puts the body into a message that carries one.
inline void setBody(Message &message, const Body &body)
{
    std::visit(
        [&body](auto &kind) {
            if constexpr (requires { kind.contentType; }) {
                kind.body = body.bytes;
                kind.contentType = body.contentType;
            }
        },
        message);
}

/// Takes the body out of a received message; empty if it carries none.
[[nodiscard]] inline Body takeBody(Message &message)
{
    return std::visit(
        [](auto &kind) -> Body {
            if constexpr (requires { kind.contentType; })
                return { std::exchange(kind.contentType, {}), std::exchange(kind.body, {}) };
            else
                return {};
        },
        message);
}

} // namespace cowsliprock
