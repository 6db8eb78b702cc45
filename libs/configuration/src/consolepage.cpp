// Generated from libs/configuration/console/console.html by scripts/embed-documents.
#include <configuration/consolepage.h>

namespace cowsliprock {

std::string_view consolePage() noexcept
{
    // clang-format off
    return R"EMBEDDED(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>cowsliprock configuration</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 1em 2em; }
header { position: sticky; top: 0; background: #fff; border-bottom: 1px solid #999; padding: .5em 0; }
fieldset { margin: .5em 0; display: flex; flex-wrap: wrap; gap: .3em 1em; }
label { display: inline-flex; flex-direction: column; font-size: 12px; color: #444; }
input, select { font: inherit; color: #000; }
input[type=number] { width: 9em; }
.faulty { outline: 2px solid #b00; }
#message { white-space: pre-wrap; }
#message.bad { color: #b00; }
</style>
</head>
<body>
<header>
<strong>Configuration</strong> version <span id="version">-</span>
<button id="load" type="button">Load version in force</button>
<button id="apply" type="button">Apply</button>
<div id="message" role="status"></div>
</header>
<main id="sections"></main>
<script>
"use strict";
const priorities = ["urgent", "normal", "batch"];
const resources = ["cpuMillis", "memoryMb", "accelerators"];
const number = (...path) => ({ path, type: "number" });
const text = (...path) => ({ path, type: "text" });
const flag = (...path) => ({ path, type: "checkbox" });
const choice = (options, ...path) => ({ path, type: "select", options });
const names = list => () => (state.document[list] || []).map(entry => entry.name);

const sections = {
  services: [text("name"), choice(names("teams"), "team"), choice(names("policies"), "policy"),
    choice(() => priorities, "priority"), number("slots"), number("connections"), number("queueLimit"),
    number("retryBudgetPercent"), number("expectedServiceTimeMs"), number("defaultDeadlineMs"),
    number("objectives", "waitingTimeMs"), number("objectives", "waitingShare"),
    number("objectives", "deadlineShare"), number("objectives", "availability")],
  jobs: [text("name"), choice(names("teams"), "team"), choice(names("policies"), "policy"),
    choice(() => ["service", "batch", "gang"], "kind"), choice(() => priorities, "priority"),
    flag("exclusive"), flag("mayYield"), number("taskCount"),
    ...resources.map(name => number("perTask", name)), number("expectedRunTimeMs"),
    number("deadlineMs"), number("maxAttempts"), { path: ["regions"], type: "list" },
    choice(names("services"), "service")],
  policies: [text("name"), text("placement"), number("waitingWeight"), number("packingWeight"),
    number("crossRegionWeight")],
  teams: [text("name"), ...resources.map(name => number("quota", name))],
  callers: [text("name"), text("homeRegion")],
};
const defaults = { jobs: { kind: "batch", mayYield: true } };
const state = { version: null, document: {} };

const element = (tag, properties = {}, ...children) => {
  const node = Object.assign(document.createElement(tag), properties);
  node.append(...children);
  return node;
};
const message = (content, bad = false) => {
  const node = document.getElementById("message");
  node.textContent = content;
  node.className = bad ? "bad" : "";
};

const read = (entry, path) => path.reduce((value, key) => value?.[key], entry);
const write = (entry, path, value) => {
  const parents = path.slice(0, -1);
  const last = path[path.length - 1];
  if (value !== undefined) {
    parents.reduce((node, key) => node[key] ??= {}, entry)[last] = value;
    return;
  }
  const parent = read(entry, parents);
  if (parent) delete parent[last];
  if (parent && parents.length && !Object.keys(parent).length) write(entry, parents, undefined);
};

// An empty field leaves the member out, so that its default applies.
const readInput = (field, input) => {
  if (field.type === "checkbox") return input.checked;
  if (field.type === "list") {
    const words = input.value.split(",").map(word => word.trim()).filter(word => word);
    return words.length ? words : undefined;
  }
  if (input.value === "") return undefined;
  return field.type === "number" ? Number(input.value) : input.value;
};

const makeInput = (entry, field) => {
  const value = read(entry, field.path);
  let input;
  if (field.type === "select") {
    input = element("select");
    const options = field.options();
    if (value !== undefined && !options.includes(value)) options.push(value);
    for (const option of ["", ...options]) input.append(element("option", { value: option, textContent: option }));
    input.value = value ?? "";
  } else if (field.type === "checkbox") {
    input = element("input", { type: "checkbox", checked: value ?? field.path[0] === "mayYield" });
  } else {
    const type = field.type === "number" ? "number" : "text";
    input = element("input", { type, value: Array.isArray(value) ? value.join(", ") : value ?? "" });
    if (type === "number") input.step = "any";
  }
  input.addEventListener("change", () => write(entry, field.path, readInput(field, input)));
  return input;
};

const makeEntry = (list, entry, index) => {
  const group = element("fieldset", {}, element("legend", { textContent: entry.name || "new" }));
  for (const field of sections[list]) {
    const input = makeInput(entry, field);
    input.dataset.path = "/" + [list, index, ...field.path].join("/");
    group.append(element("label", { textContent: field.path.join(" ") }, input));
  }
  const remove = element("button", { type: "button", textContent: "Remove" });
  remove.addEventListener("click", () => { state.document[list].splice(index, 1); render(); });
  group.append(remove);
  return group;
};

const render = () => {
  document.getElementById("version").textContent = state.version ?? "-";
  const main = document.getElementById("sections");
  const open = new Set([...main.querySelectorAll("details[open]")].map(node => node.dataset.list));
  main.replaceChildren();
  for (const list of Object.keys(sections)) {
    const entries = state.document[list] || [];
    const add = element("button", { type: "button", textContent: "Add" });
    add.addEventListener("click", () => {
      (state.document[list] ??= []).push({ ...defaults[list] });
      render();
    });
    const details = element("details", { open: open.has(list) },
      element("summary", { textContent: `${list} (${entries.length})` }), add);
    details.dataset.list = list;
    // Forms of a closed section are built when it is opened: a document may have thousands of jobs.
    const fill = () => {
      if (details.open && !details.querySelector("fieldset"))
        details.append(...entries.map((entry, index) => makeEntry(list, entry, index)));
    };
    details.addEventListener("toggle", fill);
    fill();
    main.append(details);
  }
};

const showErrors = errors => {
  message(errors.map(error => `${error.path || "/"}: ${error.message}`).join("\n"), true);
  for (const { path } of errors) {
    const list = path.split("/")[1];
    const details = document.querySelector(`details[data-list="${CSS.escape(list || "-")}"]`);
    if (details) details.open = true;
  }
  // The forms of a section that was just opened exist after its toggle event.
  setTimeout(() => {
    for (const input of document.querySelectorAll("[data-path]"))
      input.classList.toggle("faulty", errors.some(error =>
        error.path === input.dataset.path || error.path.startsWith(input.dataset.path + "/")
        || (error.path && input.dataset.path.startsWith(error.path + "/"))));
  }, 50);
};

const load = async () => {
  try {
    const response = await fetch("/v1/configuration");
    const body = await response.json();
    if (!response.ok) throw new Error(body.error || response.status);
    state.version = body.version;
    state.document = body.document;
    render();
    message("");
  } catch (error) {
    message(`The configuration cannot be read: ${error.message}`, true);
  }
};

const apply = async () => {
  if (state.version === null) return message("Load the version in force first.", true);
  message("Applying ...");
  try {
    const response = await fetch("/v1/configuration", {
      method: "POST",
      headers: { "Content-Type": "application/json" },
      body: JSON.stringify({ baseVersion: state.version, document: state.document }),
    });
    const body = await response.json();
    if (response.ok) {
      state.version = body.version;
      render();
      message(`Version ${body.version} is accepted.`);
    } else if (response.status === 409) {
      message(`Conflict: version ${body.version} was accepted meanwhile; nothing was changed. ` +
        "Load the version in force and repeat the change. Loading drops what was edited here.", true);
    } else if (response.status === 422) {
      showErrors(body.errors || [{ path: "", message: body.error }]);
    } else if (body.outcome === "unknown") {
      message("Outcome unknown: load the version in force and look before trying again.", true);
    } else {
      message(`Not applied: ${body.error || body.detail || response.status}`, true);
    }
  } catch (error) {
    message(`Outcome unknown (${error.message}): load the version in force before trying again.`, true);
  }
};

document.getElementById("load").addEventListener("click", load);
document.getElementById("apply").addEventListener("click", apply);
load();
</script>
</body>
</html>
)EMBEDDED";
    // clang-format on
}

} // namespace cowsliprock
