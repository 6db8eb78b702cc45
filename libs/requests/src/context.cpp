#include "context.h"

#include <charconv>

namespace cowsliprock::requests {

void BodyReferences::retain(const BodyKey &body)
{
    if (!body.empty())
        ++m_counts[body];
}

void BodyReferences::release(const BodyKey &body, Output &output)
{
    if (const auto found = m_counts.find(body); found != m_counts.end() && --found->second == 0) {
        m_counts.erase(found);
        output.perform(effect::ForgetBody{ body });
    }
}

Context::Context(const KernelSettings &kernelSettings)
    : settings(kernelSettings)
    , m_random(kernelSettings.randomSeed ^ stableHash("requests " + kernelSettings.self.text()))
{ }

const ServiceDefinition *Context::service(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

void Context::configure(const Configuration &configuration)
{
    m_services.clear();
    for (const auto &definition : configuration.services)
        m_services.emplace(definition.name, definition);
    homeRegions.clear();
    for (const auto &caller : configuration.callers)
        homeRegions.emplace(caller.name, caller.homeRegion);
}

std::uint64_t Context::randomBelow(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
}

AttemptId Context::newAttempt()
{
    return newAttempt(settings.self);
}

AttemptId Context::newAttempt(const DaemonIdentity &target)
{
    return AttemptId(settings.self.text() + "/r" + std::to_string(++m_lastAttempt) + "@"
                     + std::to_string(target.incarnation));
}

bool Context::isForEarlierIncarnation(const AttemptId &attempt) const
{
    const std::string &text = attempt.value();
    const auto separator = text.rfind('@');
    if (separator == std::string::npos)
        return false;
    std::uint64_t incarnation = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + separator + 1, end, incarnation);
    return error == std::errc() && rest == end && incarnation < settings.self.incarnation;
}

void Context::send(const DaemonName &to, Message message)
{
    output->perform(effect::SendPeer{ to, std::move(message) });
}

void Context::reply(LocalReply reply)
{
    std::visit([this](const auto &any) { bodies.retain(any.answer.body); }, reply);
    replies.push_back(std::move(reply));
}

RequestAnswer notRun(const char *reason, Duration retryAfter)
{
    RequestAnswer answer;
    answer.kind = AnswerKind::NotRun;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    return answer;
}

RequestAnswer unknown(const char *reason)
{
    RequestAnswer answer;
    answer.kind = AnswerKind::Unknown;
    answer.reason = reason;
    return answer;
}

} // namespace cowsliprock::requests
