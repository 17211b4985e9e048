<#import "layout.ftlh" as l>
<@l.page>
  <#if version == 0>
  <p>No document is published yet. Add regions and models first, then services, backend servers and customers.</p>
  <#else>
  <p>Version <strong>${version}</strong> is published.<#list latest as record> ${record.operator}: ${record.why}.</#list>
  <a href="/console/history/${version}">Show this version</a></p>
  </#if>
  <ul class="cards">
    <#list sections as item>
    <li><a href="/console/${item.key}"><strong>${item.title}</strong> <#if item.isList()><span>${counts[item.key]}</span></#if></a></li>
    </#list>
  </ul>
</@l.page>
