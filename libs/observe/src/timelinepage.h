/**
 * The HTML page of the timeline: the parts before and after the events' JSON. It loads no external
 * resources and inserts event data as text only, never as markup.
 */
#pragma once

#include <string_view>

namespace almondridge::observe {

inline constexpr std::string_view TimelinePageHead = R"page(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
      content="default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'">
<title>almondridge time line</title>
<style>
body { font: 13px sans-serif; margin: 12px; color: #222; background: #fff; }
#bar { display: flex; flex-wrap: wrap; gap: 10px; align-items: center; margin-bottom: 8px; }
#bar label { white-space: nowrap; }
#bar i { display: inline-block; width: 10px; height: 10px; margin: 0 3px; }
#picture { border: 1px solid #bbb; display: block; width: 100%; cursor: crosshair; }
#tip { position: fixed; display: none; max-width: 480px; padding: 6px 8px; background: #222;
       color: #fff; white-space: pre-wrap; overflow-wrap: anywhere; pointer-events: none; }
table { border-collapse: collapse; margin-top: 10px; }
td, th { text-align: left; padding: 1px 8px; vertical-align: top; overflow-wrap: anywhere; }
</style>
</head>
<body>
<div id="bar">
<b>almondridge time line</b>
<input id="filter" placeholder="show events with ..." aria-label="show events with">
<button id="all">whole time</button>
<span id="kinds"></span>
</div>
<canvas id="picture"></canvas>
<p>Wheel: zoom. Drag: move. Hover: details. Below: the first events in view.</p>
<div id="tip"></div>
<table><thead><tr><th>time</th><th>instance</th><th>event</th><th>subject</th><th>ms</th>
<th>detail</th></tr></thead><tbody id="list"></tbody></table>
<script type="application/json" id="events">)page";

inline constexpr std::string_view TimelinePageTail = R"page(</script>
<script>
"use strict";
const colours = { instance: "#4e79a7", peer: "#9c755f", apply: "#59a14f", lease: "#e15759",
                  order: "#f28e2b", endpoint: "#76b7b2", request: "#bab0ac", plan: "#b07aa1",
                  platform: "#d4a60a" };
const kinds = Object.keys(colours);
const labelWidth = 170, laneHeight = 6, rowGap = 8, axisHeight = 22, listed = 200;
const rowHeight = kinds.length * laneHeight + rowGap;
const byId = id => document.getElementById(id);
const picture = byId("picture"), tip = byId("tip"), filter = byId("filter");
const events = JSON.parse(byId("events").textContent);
for (const event of events) {
  event.end = event.wall_ms + Math.min(event.counter, 999) / 1000;
  event.start = event.end - Math.max(0, event.duration_ms);
}
const rows = [...new Map(events.map(event => [event.instance, event.domain]))]
  .sort((a, b) => a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : a[0] < b[0] ? -1 : 1);
const rowOf = new Map(rows.map((row, index) => [row[0], index]));
const hidden = new Set();
const first = events.reduce((least, event) => Math.min(least, event.start), Infinity);
const last = events.reduce((most, event) => Math.max(most, event.end), -Infinity);
let from, to;

function wholeTime() {
  const margin = Math.max(1, (last - first) * 0.02);
  from = events.length ? first - margin : 0;
  to = events.length ? last + margin : 1;
}
function shown(event) {
  const text = filter.value.toLowerCase();
  return !hidden.has(event.kind) && event.end >= from && event.start <= to
    && (!text || [event.name, event.subject, event.detail, event.instance]
      .some(field => field.toLowerCase().includes(text)));
}
function timeText(time) { return new Date(time).toISOString().slice(11, 23); }
function xOf(time) {
  return labelWidth + (time - from) / (to - from) * (picture.clientWidth - labelWidth);
}
function timeAt(x) {
  return from + (x - labelWidth) / (picture.clientWidth - labelWidth) * (to - from);
}
function boxOf(event) {
  const x = Math.max(xOf(event.start), labelWidth);
  return { x, width: Math.max(3, xOf(event.end) - x), height: laneHeight - 1,
           y: axisHeight + rowOf.get(event.instance) * rowHeight
              + kinds.indexOf(event.kind) * laneHeight };
}
function drawAxis(pen, width, height) {
  const count = Math.max(2, Math.floor((width - labelWidth) / 110));
  for (let tick = 0; tick <= count; ++tick) {
    const time = from + (to - from) * tick / count;
    pen.fillStyle = "#ddd";
    pen.fillRect(xOf(time), axisHeight - 4, 1, height);
    pen.fillStyle = "#555";
    pen.fillText(timeText(time), Math.min(xOf(time) + 2, width - 72), 12);
  }
}
function drawRows(pen, width) {
  rows.forEach(([instance, domain], index) => {
    const y = axisHeight + index * rowHeight;
    pen.fillStyle = "#eee";
    pen.fillRect(0, y + rowHeight - rowGap / 2, width, 1);
    pen.fillStyle = "#222";
    pen.fillText(instance, 4, y + 14, labelWidth - 8);
    pen.fillStyle = "#777";
    pen.fillText(domain, 4, y + 28, labelWidth - 8);
  });
}
function list(visible) {
  const body = byId("list");
  body.replaceChildren();
  for (const event of visible.slice(0, listed)) {
    const line = body.insertRow();
    for (const value of [timeText(event.end), event.instance, event.name, event.subject,
                         event.duration_ms || "", event.detail]) {
      line.insertCell().textContent = value;
    }
  }
}
function draw() {
  const width = picture.clientWidth, height = axisHeight + rows.length * rowHeight + 4;
  const scale = window.devicePixelRatio || 1;
  picture.style.height = height + "px";
  picture.width = width * scale;
  picture.height = height * scale;
  const pen = picture.getContext("2d");
  pen.scale(scale, scale);
  pen.font = "11px sans-serif";
  drawAxis(pen, width, height);
  drawRows(pen, width);
  const visible = events.filter(shown);
  for (const event of visible) {
    const box = boxOf(event);
    pen.fillStyle = colours[event.kind];
    pen.fillRect(box.x, box.y, box.width, box.height);
  }
  list(visible);
}
let planned = false;
function redraw() {
  if (!planned) {
    planned = true;
    requestAnimationFrame(() => { planned = false; draw(); });
  }
}
function eventAt(x, y) {
  return events.filter(shown).findLast(event => {
    const box = boxOf(event);
    return x >= box.x - 2 && x <= box.x + box.width + 2 && y >= box.y - 1
      && y <= box.y + box.height + 1;
  });
}
picture.addEventListener("wheel", wheel => {
  wheel.preventDefault();
  const centre = timeAt(wheel.offsetX), factor = Math.exp(wheel.deltaY * 0.002);
  from = centre - (centre - from) * factor;
  to = Math.max(from + 0.01, centre + (to - centre) * factor);
  redraw();
}, { passive: false });
picture.addEventListener("mousemove", move => {
  if (move.buttons & 1) {
    const shift = timeAt(0) - timeAt(move.movementX);
    from += shift;
    to += shift;
    redraw();
    return;
  }
  const event = eventAt(move.offsetX, move.offsetY);
  tip.style.display = event ? "block" : "none";
  if (event) {
    tip.textContent = [timeText(event.end) + "  " + event.name, event.subject,
      event.duration_ms ? event.duration_ms + " ms" : "", event.detail].filter(Boolean).join("\n");
    tip.style.left = Math.max(0, Math.min(move.clientX + 14, window.innerWidth - 500)) + "px";
    tip.style.top = move.clientY + 14 + "px";
  }
});
picture.addEventListener("mouseleave", () => { tip.style.display = "none"; });
byId("all").addEventListener("click", () => { wholeTime(); redraw(); });
filter.addEventListener("input", redraw);
window.addEventListener("resize", redraw);
for (const kind of kinds) {
  const label = document.createElement("label"), box = document.createElement("input");
  const patch = document.createElement("i");
  box.type = "checkbox";
  box.checked = true;
  patch.style.background = colours[kind];
  box.addEventListener("change", () => {
    box.checked ? hidden.delete(kind) : hidden.add(kind);
    redraw();
  });
  label.append(box, patch, kind);
  byId("kinds").append(label);
}
wholeTime();
draw();
</script>
</body>
</html>
)page";

} // namespace almondridge::observe
