<#import "layout.ftlh" as l>
<@l.page>
  <p>${rows?size} in version ${version}. <a class="button" href="/console/${section.key}/new">Add a ${section.singular}</a></p>
  <#if rows?has_content>
  <div class="scroll" tabindex="0" role="region" aria-label="${section.title}">
  <table class="${(section.key == "backends")?then("short", "")}">
    <thead><tr><#list columns as column><th scope="col">${column}</th></#list></tr></thead>
    <tbody>
      <#list rows as row>
      <tr><#list row as cell><#if cell?is_first><th scope="row"><a href="/console/${section.key}/${cell?url}">${cell}</a></th><#else><td>${cell}</td></#if></#list></tr>
      </#list>
    </tbody>
  </table>
  </div>
  </#if>
</@l.page>
